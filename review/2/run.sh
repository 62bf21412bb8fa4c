#!/usr/bin/env bash
# Plays the case "moving" of the stand-ins; TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../play.sh" moving "$(cd "$(dirname "$0")" && pwd)"
