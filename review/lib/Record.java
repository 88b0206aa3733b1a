package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the seconds since the start. */
final class Record {
    static final long START = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        out.println(String.format("%8.3f ", now()) + String.format(format, values));
    }
}
