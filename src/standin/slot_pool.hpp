/// @file
/// Request slots of a backend server, with a queue of waiting requests.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

namespace fulmarjunction::detail {

/// Limits the number of concurrent requests. Not thread-safe.
class slot_pool : public std::enable_shared_from_this<slot_pool>
{
public:
    /// Owns a slot; the destructor releases it.
    class slot
    {
    public:
        explicit slot(std::shared_ptr<slot_pool> pool) : pool_(std::move(pool))
        {
        }
        slot(slot&&) noexcept = default;
        slot& operator=(slot&&) = delete;
        ~slot();

    private:
        std::shared_ptr<slot_pool> pool_;
    };

    slot_pool(boost::asio::any_io_executor executor, std::size_t size)
        : executor_(std::move(executor)), size_(size)
    {
    }

    /// Waits for a slot in FIFO order.
    /// @return nothing if the wait was canceled
    boost::asio::awaitable<std::optional<slot>> acquire();

    std::size_t size() const { return size_; }
    std::size_t used() const { return used_; }
    std::size_t waiting() const;

private:
    struct waiter
    {
        explicit waiter(const boost::asio::any_io_executor& executor)
            : timer(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer timer;
        bool granted = false;
    };

    void release();

    boost::asio::any_io_executor executor_;
    std::size_t size_;
    std::size_t used_ = 0;
    std::deque<std::weak_ptr<waiter>> queue_;
};

} // namespace fulmarjunction::detail
