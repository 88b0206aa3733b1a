package org.weldcourse.quota;

import java.util.Collection;

/**
 * An amount of CPUs and GPUs in whole millionths. Integers are used because sums of floating-point numbers accumulate
 * rounding errors.
 */
public record ResourceAmount(long cpuMillionths, long gpuMillionths) {
    public static final ResourceAmount ZERO = new ResourceAmount(0, 0);
    /** Far above any real sum, and small enough that adding two such values does not overflow. */
    private static final long UNLIMITED = Long.MAX_VALUE / 4;

    /** A limit that allows any amount. */
    public static final ResourceAmount NO_LIMIT = new ResourceAmount(UNLIMITED, UNLIMITED);

    private static final double MILLIONTHS_PER_UNIT = 1e6;

    /** Returns an amount from CPUs and GPUs, rounded to millionths. */
    public static ResourceAmount of(double cpus, double gpus) {
        return new ResourceAmount(
                capped(Math.round(cpus * MILLIONTHS_PER_UNIT)), capped(Math.round(gpus * MILLIONTHS_PER_UNIT)));
    }

    /** Returns a limit from the values in settings and stored records, where 0 means no limit. */
    public static ResourceAmount limit(double cpus, double gpus) {
        return new ResourceAmount(limit(cpus), limit(gpus));
    }

    private static long limit(double number) {
        return number > 0 && number < UNLIMITED / MILLIONTHS_PER_UNIT
                ? Math.round(number * MILLIONTHS_PER_UNIT)
                : UNLIMITED;
    }

    /** Returns the CPU limit as settings and stored records express it: 0 means no limit. */
    public double cpuLimit() {
        return cpuMillionths >= UNLIMITED ? 0 : cpus();
    }

    /** Returns the GPU limit as settings and stored records express it: 0 means no limit. */
    public double gpuLimit() {
        return gpuMillionths >= UNLIMITED ? 0 : gpus();
    }

    /** Returns the number of CPUs. */
    public double cpus() {
        return cpuMillionths / MILLIONTHS_PER_UNIT;
    }

    /** Returns the number of GPUs. */
    public double gpus() {
        return gpuMillionths / MILLIONTHS_PER_UNIT;
    }

    private static long capped(long millionths) {
        return Math.min(millionths, UNLIMITED);
    }

    /** Returns the sum of both amounts, capped at the unlimited value. */
    public ResourceAmount plus(ResourceAmount other) {
        return new ResourceAmount(
                capped(cpuMillionths + other.cpuMillionths), capped(gpuMillionths + other.gpuMillionths));
    }

    /** Returns the sum of all amounts. */
    public static ResourceAmount sum(Collection<ResourceAmount> amounts) {
        ResourceAmount sum = ZERO;
        for (ResourceAmount amount : amounts) {
            sum = sum.plus(amount);
        }
        return sum;
    }

    /** Returns the difference, with negative results replaced by zero. */
    public ResourceAmount minus(ResourceAmount other) {
        return new ResourceAmount(
                Math.max(0, cpuMillionths - other.cpuMillionths), Math.max(0, gpuMillionths - other.gpuMillionths));
    }

    /** Returns this amount multiplied by a count, capped at the unlimited value. */
    public ResourceAmount times(long count) {
        return new ResourceAmount(times(cpuMillionths, count), times(gpuMillionths, count));
    }

    private static long times(long millionths, long count) {
        return millionths > 0 && count > UNLIMITED / millionths ? UNLIMITED : millionths * count;
    }

    /** Returns this amount divided by a count, rounded down. */
    public ResourceAmount dividedBy(long count) {
        return new ResourceAmount(cpuMillionths / count, gpuMillionths / count);
    }

    /** Returns the smaller value of each resource. */
    public ResourceAmount min(ResourceAmount other) {
        return new ResourceAmount(
                Math.min(cpuMillionths, other.cpuMillionths), Math.min(gpuMillionths, other.gpuMillionths));
    }

    /** Returns whether this limit allows any amount of both resources. */
    public boolean isUnlimited() {
        return cpuMillionths >= UNLIMITED && gpuMillionths >= UNLIMITED;
    }

    /** Returns whether this amount is at most the other for both resources. */
    public boolean fitsInto(ResourceAmount other) {
        return cpuMillionths <= other.cpuMillionths && gpuMillionths <= other.gpuMillionths;
    }

    /** Returns whether both resources are zero. */
    public boolean isZero() {
        return cpuMillionths == 0 && gpuMillionths == 0;
    }

    @Override
    public String toString() {
        String text = cpuMillionths >= UNLIMITED ? "any CPUs" : cpus() + " CPUs";
        boolean showGpus = gpuMillionths > 0 && gpuMillionths < UNLIMITED;
        return showGpus ? text + " and " + gpus() + " GPUs" : text;
    }
}
