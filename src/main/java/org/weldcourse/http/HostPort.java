package org.weldcourse.http;

/** A network address, written as {@code 10.0.0.1:8080} in the settings and by workers. */
public record HostPort(String host, int port) {
    /**
     * Parses {@code host:port}; the port is what follows the last colon.
     *
     * @throws IllegalArgumentException if there is no colon or the port is not a number
     */
    public static HostPort of(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address without a port: " + address);
        }
        return new HostPort(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
