#include "slot_pool.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace fulmarjunction::detail {

slot_pool::slot::~slot()
{
    if (pool_)
        pool_->release();
}

boost::asio::awaitable<std::optional<slot_pool::slot>> slot_pool::acquire()
{
    const auto self = shared_from_this();
    if (used_ < size_) {
        ++used_;
        co_return std::optional<slot>(std::in_place, self);
    }
    const auto entry = std::make_shared<waiter>(executor_);
    queue_.push_back(entry);
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (!entry->granted)
        co_return std::nullopt;
    co_return std::optional<slot>(std::in_place, self);
}

std::size_t slot_pool::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(queue_.begin(), queue_.end(), [](const auto& entry) {
            return !entry.expired();
        }));
}

void slot_pool::release()
{
    while (!queue_.empty()) {
        const auto next = queue_.front().lock();
        queue_.pop_front();
        if (!next)
            continue;
        next->granted = true;
        next->timer.cancel();
        return;
    }
    --used_;
}

} // namespace fulmarjunction::detail
