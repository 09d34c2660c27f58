/// @file
/// Reports of requests that crash backend servers, in the shared store.
#pragma once

#include <fulmarjunction/core/message.hpp>
#include <fulmarjunction/core/timer_service.hpp>
#include <fulmarjunction/store/fleet_store.hpp>
#include <fulmarjunction/suspects/suspects.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <string>
#include <vector>

namespace fulmarjunction {

/// Keeps what nodes know of requests that crash backend servers while all nodes
/// are lost at once.
///
/// Each node stores the requests that are refused, and have crashed its own
/// backend server among others. A node that starts merges what all have stored.
class suspect_archive
{
public:
    struct dependencies
    {
        fleet_store* store = nullptr;
        suspect_list* suspects = nullptr;
        timer_service* timers = nullptr;
        instance_name self;
    };

    suspect_archive(boost::asio::any_io_executor executor, dependencies deps);

    /// Merges what nodes have stored before.
    void load(const std::vector<stored_suspects>& rows);

    /// Starts the periodic work.
    void start();

    /// Stores the reports at once if they have changed or may be lost.
    void update();

private:
    awaitable<void> store_reports(std::string text, std::string content);

    boost::asio::any_io_executor executor_;
    dependencies deps_;
    /// The stored reports without their remaining times.
    std::string stored_content_;
    /// Era of the store when they were stored.
    store_era stored_era_ = unknown_era;
    /// Whether this node has stored any.
    bool has_row_ = false;
    bool is_busy_ = false;
    timer_service::subscription ticks_;
};

} // namespace fulmarjunction
