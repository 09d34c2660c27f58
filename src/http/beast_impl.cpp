// Compiles the non-inline functions of Beast (split compilation).
#include <boost/beast/src.hpp>
