package org.weldcourse.peers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The heartbeat that controllers send one another: the sender's name, the highest fencing token it was the leader under
 * (or 0), whether it is the leader now, whether the store served it of late, and whether it serves users while it is
 * not the leader. A frame is its length (two bytes, big-endian, not counting themselves), a version byte, a byte of
 * flags, the fencing token (eight bytes) and the name in UTF-8.
 */
public record PeerStatus(String name, long fencingToken, boolean isLeader, boolean reachesStore, boolean servesUsers) {
    /** The longest frame that is accepted, in bytes, not counting the two of its length. */
    public static final int MAX_FRAME_BYTES = 300;

    private static final byte VERSION = 1;
    private static final int HEAD_BYTES = 1 + 1 + Long.BYTES;
    private static final int LEADS = 1;
    private static final int REACHES_STORE = 2;
    private static final int SERVES_USERS = 4;

    /** Encodes the status as one frame. */
    public ByteBuffer encode() {
        byte[] text = name.getBytes(StandardCharsets.UTF_8);
        ByteBuffer frame = ByteBuffer.allocate(Short.BYTES + HEAD_BYTES + text.length);
        frame.putShort((short) (HEAD_BYTES + text.length));
        frame.put(VERSION);
        frame.put((byte)
                ((isLeader ? LEADS : 0) | (reachesStore ? REACHES_STORE : 0) | (servesUsers ? SERVES_USERS : 0)));
        frame.putLong(fencingToken);
        frame.put(text);
        return frame.flip();
    }

    /**
     * Takes one frame off the buffer; null, and the buffer untouched, when it does not hold a whole one yet.
     *
     * @throws MalformedFrameException when the frame's length or version is not of this protocol
     */
    public static PeerStatus decode(ByteBuffer buffer) throws MalformedFrameException {
        if (buffer.remaining() < Short.BYTES) {
            return null;
        }
        int length = buffer.getShort(buffer.position()) & 0xffff;
        if (length < HEAD_BYTES || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("a frame of " + length + " bytes");
        }
        if (buffer.remaining() < Short.BYTES + length) {
            return null;
        }
        buffer.getShort();
        byte version = buffer.get();
        if (version != VERSION) {
            throw new MalformedFrameException("version " + version);
        }
        byte flags = buffer.get();
        long fencingToken = buffer.getLong();
        byte[] text = new byte[length - HEAD_BYTES];
        buffer.get(text);
        return new PeerStatus(
                new String(text, StandardCharsets.UTF_8),
                fencingToken,
                (flags & LEADS) != 0,
                (flags & REACHES_STORE) != 0,
                (flags & SERVES_USERS) != 0);
    }

    /** Thrown for bytes that are no frame of this protocol; the connection that they came on is closed. */
    public static final class MalformedFrameException extends Exception {
        MalformedFrameException(String message) {
            super(message);
        }
    }
}
