/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.core.placement;

import org.lupinpaddle.core.job.StepSpec;

/**
 * An amount of worker resources.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes of memory
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillis, long memoryMb, long accelerators) {

    // A task that requests none of a resource is not limited by it.
    private static final long UNLIMITED_COUNT = 1_000_000;

    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns the resources that one task of the step uses on a worker. A filler task uses no processor time of
     * its own.
     */
    public static Resources of(StepSpec step) {
        StepSpec.Need n = step.need();
        return new Resources(step.fills() ? 0 : n.cpuMillis(), n.memoryMb(), n.accelerators());
    }

    /** Returns the sum. */
    public Resources plus(Resources other) {
        return new Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns the difference. */
    public Resources minus(Resources other) {
        return new Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns this amount multiplied by {@code count}. */
    public Resources times(long count) {
        return new Resources(cpuMillis * count, memoryMb * count, accelerators * count);
    }

    /** Returns the component-wise maximum. */
    public Resources componentMax(Resources other) {
        return new Resources(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether {@code other} fits into these resources. */
    public boolean canHold(Resources other) {
        return cpuMillis >= other.cpuMillis && memoryMb >= other.memoryMb && accelerators >= other.accelerators;
    }

    /** Returns how many times {@code one} fits into these resources. */
    public long countOf(Resources one) {
        return Math.min(
                times(cpuMillis, one.cpuMillis),
                Math.min(times(memoryMb, one.memoryMb), times(accelerators, one.accelerators)));
    }

    private static long times(long total, long one) {
        return one == 0 ? UNLIMITED_COUNT : Math.max(0, total / one);
    }
}
