#include "loadrun.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

using namespace acaciadeal;

// Sends the load of a scenario file, prints the results, and also writes them to JSON-FILE if
// given.
int main(int argc, char **argv)
{
    if (argc < 2 || argc > 3) {
        std::cerr << "usage: request_load SCENARIO [JSON-FILE]\n";
        return 2;
    }
    std::ifstream file(argv[1]);
    if (!file) {
        std::cerr << argv[1] << ": cannot be read\n";
        return 1;
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const auto scenario = parseScenario(text);
    if (!scenario) {
        std::cerr << argv[1] << ": " << scenario.error().message << " " << scenario.error().where
                  << '\n';
        return 1;
    }
    const auto wallTime = std::chrono::system_clock::now().time_since_epoch();
    const auto results = runLoad(*scenario, "load-" + std::to_string(wallTime.count()));
    std::cout << toText(results);
    if (argc == 3) {
        std::ofstream out(argv[2]);
        out << toJson(results);
        if (!out.flush()) {
            std::cerr << argv[2] << ": cannot be written\n";
            return 1;
        }
    }
    return 0;
}
