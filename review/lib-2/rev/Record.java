package rev;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(format, arguments);
        out.printf("%7d %s%n", millis(), text);
        out.flush();
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
