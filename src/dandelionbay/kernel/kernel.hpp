#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "dandelionbay/kernel/fwd.hpp"

namespace dandelionbay {

/*! @brief Part of a process that starts and stops with its kernel. */
class service {
public:
    service() = default;
    service(const service&) = delete;
    service(service&&) = delete;
    service& operator=(const service&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    /**
     * @brief Begins to work; services registered earlier have already started.
     * @param host The kernel, through which other services are found.
     * @return An error status if the service can't work.
     */
    [[nodiscard]] virtual absl::Status start(kernel& host) = 0;

    /*! @brief Ends all work and joins all threads; called once after a successful start. */
    virtual void stop() noexcept = 0;
};

/*! @brief Holds the services of one process by name and controls their life. */
class kernel {
    struct entry {
        std::string name;
        std::unique_ptr<service> instance;
    };

    [[nodiscard]] service* find_any(std::string_view name) const noexcept;

public:
    using size_type = std::size_t;

    kernel() = default;
    kernel(const kernel&) = delete;
    kernel(kernel&&) = delete;
    kernel& operator=(const kernel&) = delete;
    kernel& operator=(kernel&&) = delete;
    ~kernel();

    /**
     * @brief Registers a service; only before start().
     * @param name Unique name.
     * @param instance The service.
     * @return AlreadyExists if the name is taken.
     */
    [[nodiscard]] absl::Status add(std::string name, std::unique_ptr<service> instance);

    /**
     * @brief Finds a service by name.
     * @tparam Type Interface that the service must have.
     * @param name Name given at registration.
     * @return The service, or null if there is none of this name and type.
     */
    template<typename Type>
    [[nodiscard]] Type* find(std::string_view name) const noexcept {
        return dynamic_cast<Type*>(find_any(name));
    }

    /*! @brief Starts all services in order of registration. @return The first error; then nothing is left running. */
    [[nodiscard]] absl::Status start();

    /*! @brief Stops all started services in reverse order. */
    void stop() noexcept;

private:
    std::vector<entry> entries_;
    size_type started_{};
};

} // namespace dandelionbay
