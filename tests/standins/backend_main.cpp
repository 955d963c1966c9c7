#include "backend_server.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

int main(int argc, char** argv) {
  cxxopts::Options options("standin_backend", "A backend server for tests, with faults on demand");
  options.add_options()("listen", "IP address and port, port 0 for any",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "service", "name of the service", cxxopts::value<std::string>()->default_value("fitting"))(
      "data-centre", "name of the data centre",
      cxxopts::value<std::string>()->default_value("dc1"))(
      "secret", "secret of the service", cxxopts::value<std::string>()->default_value(""))(
      "slots", "requests at one time", cxxopts::value<std::uint32_t>()->default_value("3"))(
      "announce", "URL to announce to, may be repeated",
      cxxopts::value<std::vector<std::string>>()->default_value(""))("help", "print the options");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    const auto listen = args["listen"].as<std::string>();
    const auto colon = listen.rfind(':');
    standin::backend_settings settings;
    settings.address = listen.substr(0, colon);
    settings.port = static_cast<std::uint16_t>(std::stoi(listen.substr(colon + 1)));
    settings.service = args["service"].as<std::string>();
    settings.data_centre = args["data-centre"].as<std::string>();
    settings.secret = args["secret"].as<std::string>();
    settings.slots = args["slots"].as<std::uint32_t>();
    if (args.count("announce") > 0) {
      settings.announce_urls = args["announce"].as<std::vector<std::string>>();
    }
    boost::asio::io_context io;
    standin::backend_server server(io, settings);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
      if (!ec) {
        server.drain();
      }
    });
    server.start();
    io.run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "standin_backend: " << e.what() << "\n";
    return 2;
  }
}
