package rev;

/** A rate limit that allows bursts of some seconds' worth. */
final class Bucket {
    private final double rate;
    private final double most;
    private double left;
    private long last = System.nanoTime();

    Bucket(double rate, double burstSeconds) {
        this.rate = rate;
        this.most = rate * burstSeconds;
        this.left = most;
    }

    synchronized boolean take(int count) {
        long now = System.nanoTime();
        left = Math.min(most, left + (now - last) / 1e9 * rate);
        last = now;
        if (left < count) {
            return false;
        }
        left -= count;
        return true;
    }
}
