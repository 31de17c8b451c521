#define BOOST_TEST_MODULE DaemonState
#include <boost/test/unit_test.hpp>

#include <buckthorncroft/daemon/observation_queue.h>
#include <buckthorncroft/daemon/snapshot.h>
#include <thread>
#include <vector>

using namespace buckthorncroft;

// Guards against a queue that grows, blocks, or loses observations without counting them.
BOOST_AUTO_TEST_CASE(fullObservationQueueDropsAndCounts)
{
    daemon::ObservationQueue queue(100);
    const auto service = std::make_shared<const config::Service>();
    std::vector<std::thread> producers;
    producers.reserve(4);
    for (int i = 0; i < 4; ++i) {
        producers.emplace_back([&] {
            for (std::size_t n = 0; n < 1000; ++n) {
                daemon::ReportedObservation it;
                it.service = service;
                queue.push(std::move(it));
            }
        });
    }
    for (auto& it : producers)
        it.join();
    const auto drained = queue.drain();
    BOOST_TEST(drained.size() >= 100u);
    BOOST_TEST(drained.size() + queue.droppedCount() == 4000u);
    BOOST_TEST(drained.front().service == service);
    BOOST_TEST(queue.drain().empty());
}

// Guards against a lookup that returns another service, and against a draining target that is not shown as draining.
BOOST_AUTO_TEST_CASE(snapshotFindsServicesAndShowsDraining)
{
    config::Configuration configuration;
    for (const char* name : { "b", "c", "a" }) {
        config::Service service;
        service.name = name;
        service.targets.resize(2);
        service.targets[1].draining = true;
        configuration.services.push_back(service);
    }
    const auto snapshot = daemon::makeSnapshot(configuration, 3);
    BOOST_TEST(snapshot->liveInstances == 3u);
    for (const char* name : { "a", "b", "c" }) {
        const auto* entry = snapshot->find(name);
        BOOST_REQUIRE(entry);
        BOOST_TEST(entry->service->name == name);
        BOOST_TEST(!entry->targets.at(0).draining);
        BOOST_TEST(entry->targets.at(1).draining);
    }
    BOOST_TEST(!snapshot->find("ab"));
    BOOST_TEST(!snapshot->find(""));
}
