#!/usr/bin/env bash
# Plays the case "versions" of the stand-ins; TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../play.sh" versions "$(cd "$(dirname "$0")" && pwd)"
