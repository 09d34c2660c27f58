#include "fair_queue.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// A weight of zero would make an account's service count without bound.
constexpr double least_weight = 1e-3;

} // namespace

fair_queue::account_queue&
fair_queue::account_of(const admission_request& request)
{
    auto& group = classes_[class_index(request.rank)];
    auto& account = group.accounts[request.account];
    account.weight = std::max(request.weight, least_weight);
    // Time without demand earns no credit.
    if (account.size() == 0)
        account.received = std::max(account.received, group.virtual_time);
    return account;
}

void fair_queue::push(waiting_request entry)
{
    auto& account = account_of(entry.request);
    auto& lane = entry.request.invested ? account.invested : account.fresh;
    ++classes_[class_index(entry.request.rank)].size;
    ++size_;
    lane.push_back(std::move(entry));
}

void fair_queue::charge(const admission_request& request)
{
    auto& account = account_of(request);
    auto& group = classes_[class_index(request.rank)];
    group.virtual_time = std::max(group.virtual_time, account.received);
    account.received += 1 / account.weight;
}

std::optional<waiting_request> fair_queue::pop()
{
    for (std::size_t i = importance_classes; i-- != 0;) {
        auto& group = classes_[i];
        if (group.size == 0)
            continue;
        account_queue* next = nullptr;
        for (auto& [name, account] : group.accounts) {
            if (account.size() == 0)
                continue;
            if (next == nullptr || account.received < next->received)
                next = &account;
        }
        auto& lane = next->invested.empty() ? next->fresh : next->invested;
        auto entry = std::move(lane.front());
        lane.pop_front();
        group.virtual_time = std::max(group.virtual_time, next->received);
        next->received += 1 / next->weight;
        --group.size;
        --size_;
        return entry;
    }
    return std::nullopt;
}

std::optional<waiting_request> fair_queue::evict()
{
    for (auto& group : classes_) {
        if (group.size == 0)
            continue;
        account_queue* most = nullptr;
        const auto load = [](const account_queue& account) {
            return static_cast<double>(account.size()) / account.weight;
        };
        for (auto& [name, account] : group.accounts) {
            if (account.size() != 0 &&
                (most == nullptr || load(account) > load(*most)))
                most = &account;
        }
        auto& lane = most->fresh.empty() ? most->invested : most->fresh;
        const auto last = std::min_element(
            lane.begin(), lane.end(),
            [](const waiting_request& a, const waiting_request& b) {
                return shedding_hash(a.request.root) >
                       shedding_hash(b.request.root);
            });
        auto entry = std::move(*last);
        lane.erase(last);
        --group.size;
        --size_;
        return entry;
    }
    return std::nullopt;
}

bool fair_queue::remove(std::uint64_t id)
{
    return !remove_if([id](const waiting_request& entry) {
                return entry.request.id == id;
            }).empty();
}

std::vector<waiting_request> fair_queue::remove_if(
    const std::function<bool(const waiting_request&)>& refused)
{
    std::vector<waiting_request> removed;
    const auto sweep = [&](std::deque<waiting_request>& lane) {
        const auto kept = std::stable_partition(
            lane.begin(), lane.end(),
            [&](const waiting_request& entry) { return !refused(entry); });
        const auto count = static_cast<std::size_t>(lane.end() - kept);
        std::move(kept, lane.end(), std::back_inserter(removed));
        lane.erase(kept, lane.end());
        return count;
    };
    for (auto& group : classes_) {
        if (group.size == 0)
            continue;
        for (auto& [name, account] : group.accounts) {
            const auto count = sweep(account.invested) + sweep(account.fresh);
            group.size -= count;
            size_ -= count;
        }
    }
    return removed;
}

void fair_queue::forget_idle()
{
    for (auto& group : classes_) {
        std::erase_if(group.accounts, [&group](const auto& item) {
            return item.second.size() == 0 &&
                   item.second.received <= group.virtual_time;
        });
    }
}

} // namespace fulmarjunction::detail
