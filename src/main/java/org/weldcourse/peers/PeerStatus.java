package org.weldcourse.peers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A heartbeat between controllers. On the wire, a frame consists of its length (two bytes, big-endian, not counting
 * these two), a version byte, a byte of flags, the fencing token (eight bytes) and the name in UTF-8.
 *
 * @param name the name of the sending node
 * @param fencingToken the highest fencing token under which the sender was the leader, or 0
 * @param isLeader whether the sender is the leader now
 * @param reachesStore whether the store answered the sender recently
 * @param servesUsers whether the sender serves users as a standby
 */
public record PeerStatus(String name, long fencingToken, boolean isLeader, boolean reachesStore, boolean servesUsers) {
    /** The maximum length of an accepted frame in bytes, not counting the two length bytes. */
    public static final int MAX_FRAME_BYTES = 300;

    private static final byte VERSION = 1;
    private static final int HEADER_BYTES = 1 + 1 + Long.BYTES;
    private static final int LEADER_FLAG = 1;
    private static final int REACHES_STORE_FLAG = 2;
    private static final int SERVES_USERS_FLAG = 4;

    /** Encodes the status as one frame. */
    public ByteBuffer encode() {
        byte[] nameBytes = name.getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = ByteBuffer.allocate(Short.BYTES + HEADER_BYTES + nameBytes.length);
        frame.putShort((short) (HEADER_BYTES + nameBytes.length));
        frame.put(VERSION);
        frame.put((byte) ((isLeader ? LEADER_FLAG : 0)
                | (reachesStore ? REACHES_STORE_FLAG : 0)
                | (servesUsers ? SERVES_USERS_FLAG : 0)));
        frame.putLong(fencingToken);
        frame.put(nameBytes);
        return frame.flip();
    }

    /**
     * Decodes and consumes one frame. If the buffer does not hold a complete frame yet, returns null and leaves it
     * unchanged.
     *
     * @throws MalformedFrameException if the frame's length or version is invalid in this protocol
     */
    public static PeerStatus decode(ByteBuffer buffer) throws MalformedFrameException {
        if (buffer.remaining() < Short.BYTES) {
            return null;
        }
        int length = buffer.getShort(buffer.position()) & 0xffff;
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("invalid frame length of " + length + " bytes");
        }
        if (buffer.remaining() < Short.BYTES + length) {
            return null;
        }
        buffer.getShort();
        byte version = buffer.get();
        if (version != VERSION) {
            throw new MalformedFrameException("unsupported protocol version " + version);
        }
        byte flags = buffer.get();
        long fencingToken = buffer.getLong();
        byte[] nameBytes = new byte[length - HEADER_BYTES];
        buffer.get(nameBytes);
        return new PeerStatus(
                new String(nameBytes, StandardCharsets.UTF_8),
                fencingToken,
                (flags & LEADER_FLAG) != 0,
                (flags & REACHES_STORE_FLAG) != 0,
                (flags & SERVES_USERS_FLAG) != 0);
    }

    /** Thrown for bytes that are not a valid frame; the connection that they arrived on is closed. */
    public static final class MalformedFrameException extends Exception {
        MalformedFrameException(String message) {
            super(message);
        }
    }
}
