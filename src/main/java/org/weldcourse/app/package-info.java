/**
 * Command line, assembly of a controller and its node, HTTP routing, readiness and {@code /metrics}, and the training
 * run for the class archive.
 */
package org.weldcourse.app;
