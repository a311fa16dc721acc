#pragma once

#include "memory/memory_budget.h"
