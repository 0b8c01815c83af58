#ifndef CARDAMOMPOST_CP_HELD_BYTES_HPP_INCLUDED
#define CARDAMOMPOST_CP_HELD_BYTES_HPP_INCLUDED

#include <cstddef>

namespace cardamompost
{

//! Counts the bytes of responses that an entry holds back until it can relay or store them. Thread-safety: none.
class HeldBytes
{
public:
    explicit HeldBytes(std::size_t limit)
        : limit_(limit)
    {
    }

    //! The part of one response, which ends with its lifetime.
    class Share
    {
    public:
        explicit Share(HeldBytes &all)
            : all_(all)
        {
        }
        ~Share()
        {
            set(0);
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        void set(std::size_t bytes)
        {
            all_.total_ += bytes - bytes_;
            bytes_ = bytes;
        }

    private:
        HeldBytes &all_;
        std::size_t bytes_ = 0;
    };

    //! True if responses that are held already should take as little more as they can.
    [[nodiscard]] bool isFull() const
    {
        return total_ >= limit_;
    }
    [[nodiscard]] std::size_t total() const
    {
        return total_;
    }

private:
    const std::size_t limit_;
    std::size_t total_ = 0;
};

} // namespace cardamompost

#endif // CARDAMOMPOST_CP_HELD_BYTES_HPP_INCLUDED
