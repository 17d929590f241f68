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
 * An amount of what a worker offers.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMb megabytes
 * @param accelerators whole accelerators
 */
public record Room(long cpuMillis, long memoryMb, long accelerators) {

    // What asks for nothing of a kind is not limited by it.
    private static final long MOST_PLACES = 1_000_000;

    /** Nothing. */
    public static final Room NONE = new Room(0, 0, 0);

    /** Returns what one task of the step takes of a worker; what fills takes no processor time of its own. */
    public static Room of(StepSpec step) {
        StepSpec.Need n = step.need();
        return new Room(step.fills() ? 0 : n.cpuMillis(), n.memoryMb(), n.accelerators());
    }

    /** Returns the sum. */
    public Room plus(Room other) {
        return new Room(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns the difference. */
    public Room minus(Room other) {
        return new Room(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns this amount multiplied by {@code count}. */
    public Room times(long count) {
        return new Room(cpuMillis * count, memoryMb * count, accelerators * count);
    }

    /** Returns the larger one of each kind. */
    public Room orMore(Room other) {
        return new Room(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether {@code other} fits into this. */
    public boolean holds(Room other) {
        return cpuMillis >= other.cpuMillis && memoryMb >= other.memoryMb && accelerators >= other.accelerators;
    }

    /** Returns how many times {@code one} fits into this. */
    public long placesFor(Room one) {
        return Math.min(
                times(cpuMillis, one.cpuMillis),
                Math.min(times(memoryMb, one.memoryMb), times(accelerators, one.accelerators)));
    }

    private static long times(long all, long one) {
        return one == 0 ? MOST_PLACES : Math.max(0, all / one);
    }
}
