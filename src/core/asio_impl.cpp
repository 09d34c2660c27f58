// Asio's separate compilation: its functions are compiled once, here, to keep
// the build of all other source files fast.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
