acaciadeal_library(daemon_requests
  SOURCES requestservice.cpp internal/recordstore.cpp internal/requestcodec.cpp
  DEPS requests store wire http metrics logging nlohmann_json::nlohmann_json)
acaciadeal_test(requestservice_test SOURCES requestservice_test.cpp
  DEPS daemon_requests requests_plugins store_plugins)
