#include "fair_queue.hpp"

#include <algorithm>

namespace fulmarjunction::detail {

namespace {

/// A weight of zero would make the service received by an account infinite.
constexpr double min_weight = 1e-3;

} // namespace

fair_queue::account_queue&
fair_queue::account_of(const admission_request& request)
{
    auto& queue_class = classes_[class_index(request.rank)];
    auto& account = queue_class.accounts[request.account];
    account.weight = std::max(request.weight, min_weight);
    // An account earns no credit while it has no waiting requests.
    if (account.size() == 0)
        account.received = std::max(account.received, queue_class.virtual_time);
    return account;
}

void fair_queue::push(waiting_request entry)
{
    auto& account = account_of(entry.request);
    auto& queue = entry.request.invested ? account.invested : account.new_roots;
    ++classes_[class_index(entry.request.rank)].size;
    ++size_;
    queue.push_back(std::move(entry));
}

void fair_queue::charge(const admission_request& request)
{
    auto& account = account_of(request);
    auto& queue_class = classes_[class_index(request.rank)];
    queue_class.virtual_time =
        std::max(queue_class.virtual_time, account.received);
    account.received += 1 / account.weight;
}

std::optional<waiting_request> fair_queue::pop()
{
    for (std::size_t i = importance_classes; i-- != 0;) {
        auto& queue_class = classes_[i];
        if (queue_class.size == 0)
            continue;
        account_queue* next = nullptr;
        for (auto& [name, account] : queue_class.accounts) {
            if (account.size() == 0)
                continue;
            if (next == nullptr || account.received < next->received)
                next = &account;
        }
        auto& queue = next->invested.empty() ? next->new_roots : next->invested;
        auto entry = std::move(queue.front());
        queue.pop_front();
        queue_class.virtual_time =
            std::max(queue_class.virtual_time, next->received);
        next->received += 1 / next->weight;
        --queue_class.size;
        --size_;
        return entry;
    }
    return std::nullopt;
}

std::optional<waiting_request> fair_queue::evict()
{
    for (auto& queue_class : classes_) {
        if (queue_class.size == 0)
            continue;
        account_queue* heaviest = nullptr;
        const auto load = [](const account_queue& account) {
            return static_cast<double>(account.size()) / account.weight;
        };
        for (auto& [name, account] : queue_class.accounts) {
            if (account.size() != 0 &&
                (heaviest == nullptr || load(account) > load(*heaviest)))
                heaviest = &account;
        }
        auto& queue = heaviest->new_roots.empty() ? heaviest->invested
                                                  : heaviest->new_roots;
        const auto victim = std::min_element(
            queue.begin(), queue.end(),
            [](const waiting_request& a, const waiting_request& b) {
                return shedding_hash(a.request.root) >
                       shedding_hash(b.request.root);
            });
        auto entry = std::move(*victim);
        queue.erase(victim);
        --queue_class.size;
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
    const std::function<bool(const waiting_request&)>& predicate)
{
    std::vector<waiting_request> removed;
    const auto remove_from = [&](std::deque<waiting_request>& queue) {
        const auto first_removed = std::stable_partition(
            queue.begin(), queue.end(),
            [&](const waiting_request& entry) { return !predicate(entry); });
        const auto count =
            static_cast<std::size_t>(queue.end() - first_removed);
        std::move(first_removed, queue.end(), std::back_inserter(removed));
        queue.erase(first_removed, queue.end());
        return count;
    };
    for (auto& queue_class : classes_) {
        if (queue_class.size == 0)
            continue;
        for (auto& [name, account] : queue_class.accounts) {
            const auto count =
                remove_from(account.invested) + remove_from(account.new_roots);
            queue_class.size -= count;
            size_ -= count;
        }
    }
    return removed;
}

void fair_queue::remove_idle_accounts()
{
    for (auto& queue_class : classes_) {
        std::erase_if(queue_class.accounts, [&queue_class](const auto& item) {
            return item.second.size() == 0 &&
                   item.second.received <= queue_class.virtual_time;
        });
    }
}

} // namespace fulmarjunction::detail
