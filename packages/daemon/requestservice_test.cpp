#include "daemon/requestservice.h"
