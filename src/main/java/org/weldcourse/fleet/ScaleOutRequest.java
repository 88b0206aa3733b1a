package org.weldcourse.fleet;

/** A number of machines of one offering to launch. */
public record ScaleOutRequest(Offering offering, int count) {}
