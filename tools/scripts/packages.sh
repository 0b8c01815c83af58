# Installs missing build and test dependencies. Sourced by other scripts.
packages="g++ cmake ninja-build ccache mold clang clang-format clang-tidy libclang-rt-14-dev capnproto libcapnp-dev
libboost1.81-dev libboost-program-options1.81-dev libboost-test1.81-dev libboost-json1.81-dev libspdlog-dev libfmt-dev
libxxhash-dev libssl-dev libbenchmark-dev curl openssl python3-minimal gnuplot-nox"

install_packages() {
    local missing=""
    for package in $packages; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
    done
    [ -z "$missing" ] && return 0
    echo "installing:$missing"
    apt-get update >/dev/null
    DEBIAN_FRONTEND=noninteractive apt-get install -y $missing >/dev/null
}
