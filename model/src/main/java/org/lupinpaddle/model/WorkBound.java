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
 * An upper bound of the work that can be done in time, for a planner that knows all work in advance. Work may be cut
 * into any parts and done on any instance, and no instance takes time to change its pool: no real planner can do more.
 * What the product does in time is held against it, to tell what nobody could have served from what was decided wrongly.
 */
final class WorkBound {

    private final long slotMillis;
    private final long[] cpuBySlot;

    /**
     * A piece of work, such as a step of a job.
     *
     * @param fromMillis when it can begin at the earliest, with all that goes before it done at once
     * @param untilMillis by when it must be over, for all that follows it to end in time
     * @param mostCpu how many thousandths of a core its tasks take together
     * @param cpuMillis how much it is, in thousandths of a core x milliseconds
     */
    record Work(long earliestStartMillis, long deadlineMillis, long maxCpu, long cpuMillis) {

        /** Returns how much of it can be done between two moments. */
        long maxCpuMillisBetween(long begin, long end) {
            return maxCpu * Math.max(0, Math.min(end, deadlineMillis) - Math.max(begin, earliestStartMillis));
        }
    }

    /** Makes the bound of a fleet that has so many thousandths of a core in each slot of time, the first from 0. */
    WorkBound(long slotMillis, long[] cpuBySlot) {
        this.slotMillis = slotMillis;
        this.cpuBySlot = cpuBySlot.clone();
    }

    /** Returns how much of the work can be done in time at most, in thousandths of a core x milliseconds. */
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
