//===- shallotshift/model.h - Configuration data model ----------*- C++ -*-===//
//
// The public header of package model: upstreams, services, groups of services,
// presets, the head that references all objects of one configuration, and the
// configuration as one immutable value. Each type is created by make(), which
// validates it once. Document.h converts them from and to JSON, and
// JsonFields.h parses other external JSON with the same checks. No I/O.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_H
#define SHALLOTSHIFT_MODEL_H

#include "model/Config.h"
#include "model/Document.h"
#include "model/Group.h"
#include "model/Head.h"
#include "model/Immutable.h"
#include "model/JsonFields.h"
#include "model/LenientJson.h"
#include "model/Preset.h"
#include "model/SubRequest.h"
#include "model/Upstream.h"

#endif // SHALLOTSHIFT_MODEL_H
