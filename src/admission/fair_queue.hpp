/// @file
/// Queue of waiting requests, ordered by importance and fair share.
#pragma once

#include <fulmarjunction/admission/admission.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fulmarjunction::detail {

constexpr std::size_t importance_classes = 4;

/// Returns the array index of an importance class.
inline std::size_t class_index(importance rank)
{
    return static_cast<std::size_t>(rank);
}

/// Queued request with its arrival time.
struct waiting_request
{
    admission_request request;
    time_point arrival;
};

/// Orders by importance, then by start-time fair queueing among client
/// accounts, then invested requests before new roots, then by arrival.
class fair_queue
{
public:
    void push(waiting_request entry);

    /// Removes and returns the request to start next.
    std::optional<waiting_request> pop();

    /// Removes and returns the request to refuse first: of the lowest class,
    /// from the account with the most waiting requests relative to its weight,
    /// new roots first, and of these the one with the lowest priority.
    std::optional<waiting_request> evict();

    /// Removes the request with this id.
    bool remove(std::uint64_t id);

    /// Removes and returns the requests for which `predicate` holds.
    std::vector<waiting_request>
    remove_if(const std::function<bool(const waiting_request&)>& predicate);

    /// Charges an account for a request that starts without waiting.
    void charge(const admission_request& request);

    /// Removes accounts that have no waiting requests and have received no more
    /// service than the virtual time of their class.
    void remove_idle_accounts();

    std::size_t size() const { return size_; }

private:
    struct account_queue
    {
        /// Service received, in requests divided by weight.
        double received = 0;
        double weight = 1;
        std::deque<waiting_request> invested;
        std::deque<waiting_request> new_roots;

        std::size_t size() const { return invested.size() + new_roots.size(); }
    };

    struct importance_class
    {
        std::map<client_account, account_queue> accounts;
        /// Service received by the account that was served last.
        double virtual_time = 0;
        std::size_t size = 0;
    };

    account_queue& account_of(const admission_request& request);

    std::array<importance_class, importance_classes> classes_;
    std::size_t size_ = 0;
};

} // namespace fulmarjunction::detail
