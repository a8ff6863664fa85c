#pragma once

/**
 * Module config: the configuration that the operators publish.
 *
 * Contains the record types and their JSON codec, validation of a complete
 * set, `config_store` (selects the set in force and the documents to fetch)
 * and `reader_selection` (selects the entries that read the configuration
 * service). Each process caches the documents in its own `config_store`.
 * Depends on core. The headers below do not depend on the JSON library.
 */

#include "config/config_store.h"
#include "config/configuration.h"
#include "config/documents.h"
#include "config/reader_selection.h"
#include "config/validation.h"
