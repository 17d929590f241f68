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
package org.lupinpaddle.model;

import java.util.List;

/**
 * Computes an upper bound on the work that can be finished by its deadlines, for a scheduler that knows all work in
 * advance. Work may be split arbitrarily and run on any instance, and moving an instance between pools takes no time,
 * so no real scheduler can do more. Comparing the product's result with this bound separates work that nobody could
 * have finished in time from work that was scheduled badly.
 */
final class WorkBound {

    private final long slotMillis;
    private final long[] cpuBySlot;

    /**
     * An item of work, such as a step of a job.
     *
     * @param earliestStartMillis the earliest start, if everything before it finishes immediately
     * @param deadlineMillis the latest end that still lets everything after it end in time
     * @param maxCpu the CPU that all its tasks use together, in thousandths of a core
     * @param cpuMillis the amount of work, in thousandths of a core x milliseconds
     */
    record Work(long earliestStartMillis, long deadlineMillis, long maxCpu, long cpuMillis) {

        /** Returns how much of this work can be done between two times. */
        long maxCpuMillisBetween(long begin, long end) {
            return maxCpu * Math.max(0, Math.min(end, deadlineMillis) - Math.max(begin, earliestStartMillis));
        }
    }

    /**
     * Creates the bound for a fleet with the given CPU, in thousandths of a core, in each time slot; the first slot
     * starts at 0.
     */
    WorkBound(long slotMillis, long[] cpuBySlot) {
        this.slotMillis = slotMillis;
        this.cpuBySlot = cpuBySlot.clone();
    }

    /** Returns the maximum amount of work that can be done in time, in thousandths of a core x milliseconds. */
    long maxCpuMillis(List<Work> items) {
        int slots = cpuBySlot.length;
        int sink = items.size() + slots + 1;
        MaxFlow flow = new MaxFlow(sink + 1);
        for (int w = 0; w < items.size(); w++) {
            flow.addEdge(0, 1 + w, items.get(w).cpuMillis());
            addSlotEdges(flow, 1 + w, items.get(w), 1 + items.size());
        }
        for (int s = 0; s < slots; s++) {
            flow.addEdge(1 + items.size() + s, sink, cpuBySlot[s] * slotMillis);
        }
        return flow.maxFlow(0, sink);
    }

    private void addSlotEdges(MaxFlow flow, int node, Work w, int firstSlot) {
        long first = Math.max(0, w.earliestStartMillis() / slotMillis);
        for (long s = first; s < cpuBySlot.length && s * slotMillis < w.deadlineMillis(); s++) {
            flow.addEdge(node, firstSlot + (int) s, w.maxCpuMillisBetween(s * slotMillis, (s + 1) * slotMillis));
        }
    }
}
