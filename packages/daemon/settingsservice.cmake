acaciadeal_library(daemon_settings
  SOURCES settingsservice.cpp
  DEPS alerts http logging metrics store runtime settings wire nlohmann_json::nlohmann_json)
acaciadeal_test(settingsservice_test
  SOURCES settingsservice_test.cpp
  DEPS daemon_settings store_plugins)
