#pragma once

/**
 * Module config: the operators' published configuration.
 *
 * Purpose: document types and their JSON codec, validation of a whole set,
 * `config_store` (which set is in force and what to fetch next) and
 * `reader_selection` (which entries read the configuration service).
 * The operators own the documents; a store owns the process's cached copy.
 * Depends on core; the JSON library stays inside the codec's source file.
 */

#include "config/config_store.h"
#include "config/configuration.h"
#include "config/documents.h"
#include "config/reader_selection.h"
#include "config/validation.h"
