#!/bin/sh
# A program that does not handle SIGTERM.
exec sleep 60
