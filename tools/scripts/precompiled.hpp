#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/outcome/result.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>
