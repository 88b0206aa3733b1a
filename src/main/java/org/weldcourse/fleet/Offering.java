package org.weldcourse.fleet;

/**
 * A machine type in a zone, as a spot or an on-demand machine. The cloud's capacity is limited for each offering.
 *
 * @param type the name of a {@link MachineType}
 */
public record Offering(String type, String zone, boolean spot) {
    /** Returns a description for log messages. */
    String describe() {
        return type + " in zone " + zone + ", " + (spot ? "spot" : "on-demand");
    }
}
