#pragma once

#include <memory>

#include "dandelionbay/base/clock.hpp"
#include "dandelionbay/base/event_log.hpp"
#include "dandelionbay/kernel/kernel.hpp"
#include "dandelionbay/node/endpoint_client.hpp"
#include "dandelionbay/store/host_list.hpp"
#include "dandelionbay/store/table_store.hpp"

namespace dandelionbay {

/*! @brief What a node uses from outside; members that are null are created from its options. */
struct node_environment {
    std::shared_ptr<const clock> time{};
    std::shared_ptr<table_store> store{};
    std::shared_ptr<host_list> hosts{};
    std::shared_ptr<endpoint_client> endpoint{}; //!< Agents only.
    std::shared_ptr<event_log> log{};            //!< No log if null.
};

/*! @brief Registers an object without a life of its own in the kernel. @tparam Type Its interface. */
template<typename Type>
class shared_part final : public service {
public:
    /*! @brief Holds an object. @param it The object. */
    explicit shared_part(std::shared_ptr<Type> it) : it_{std::move(it)} {}

    [[nodiscard]] absl::Status start(kernel& /*host*/) override { return absl::OkStatus(); }
    void stop() noexcept override {}

    /*! @brief The object. */
    [[nodiscard]] Type& get() const noexcept { return *it_; }

private:
    std::shared_ptr<Type> it_;
};

/*! @brief Registers an object whose life its owner controls. */
class service_handle final : public service {
public:
    /*! @brief Forwards to a service. @param it It; must outlive the kernel. */
    explicit service_handle(service& it) : it_{&it} {}

    [[nodiscard]] absl::Status start(kernel& host) override { return it_->start(host); }
    void stop() noexcept override { it_->stop(); }

    /*! @brief The service. */
    [[nodiscard]] service& get() const noexcept { return *it_; }

private:
    service* it_;
};

} // namespace dandelionbay
