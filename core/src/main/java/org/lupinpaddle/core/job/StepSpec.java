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
package org.lupinpaddle.core.job;

import java.util.List;

/**
 * One step of a job, as its caller described it.
 *
 * @param count how many tasks it has
 * @param need what each task asks of a worker
 * @param estimateMillis the caller's rough guess of one task's time; 0 where none was given
 * @param after the steps, from 0, all of whose tasks must be done first
 * @param checkpointing whether tasks save what they have done and can go on from there
 * @param gang whether the tasks work only together
 * @param rackLocal whether tasks on more than one rack take longer
 * @param label what a worker must have; empty for no wish
 * @param affinityRack the rack on which the data lies; empty for none
 * @param perWorkerMost how many tasks of one time one worker shall carry; 0 for any number
 * @param speculative whether copies of a task may run side by side
 * @param longRunning whether tasks run until the job is cancelled
 * @param image what the tasks run; tasks of one image behave alike
 * @param targetMillis the tail of answer times below which a serving task is to stay; 0 for none
 * @param fills whether tasks get only the processor time that others leave
 * @param mayMiss how many tasks may be away at one time through the system's doing; 0 where nothing was said
 */
public record StepSpec(
        int count,
        Need need,
        long estimateMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean rackLocal,
        String label,
        String affinityRack,
        int perWorkerMost,
        boolean speculative,
        boolean longRunning,
        String image,
        long targetMillis,
        boolean fills,
        int mayMiss) {

    /**
     * What one task asks of a worker.
     *
     * @param cpuMillis thousandths of a core
     * @param memoryMb megabytes
     * @param accelerators whole accelerators
     */
    public record Need(long cpuMillis, long memoryMb, long accelerators) {}

    /**
     * Returns what a step asks for in one word, as {@code COUNTxMILLICORES}, followed by {@code >STEP} for each step
     * that must be done first.
     */
    public String shape() {
        StringBuilder text = new StringBuilder().append(count).append('x').append(need.cpuMillis());
        after.forEach(s -> text.append('>').append(s));
        return text.toString();
    }

    /** Returns a builder of a step with this many tasks. */
    public static Builder builder(int count, Need need) {
        return new Builder(count, need);
    }

    /** Builds a {@link StepSpec}; what is not set is absent. */
    public static final class Builder {
        private final int count;
        private final Need need;
        private long estimateMillis;
        private List<Integer> after = List.of();
        private boolean checkpointing;
        private boolean gang;
        private boolean rackLocal;
        private String label = "";
        private String affinityRack = "";
        private int perWorkerMost;
        private boolean speculative;
        private boolean longRunning;
        private String image = "";
        private long targetMillis;
        private boolean fills;
        private int mayMiss;

        private Builder(int count, Need need) {
            this.count = count;
            this.need = need;
        }

        /** Sets the guess of one task's time. */
        public Builder estimateMillis(long millis) {
            this.estimateMillis = millis;
            return this;
        }

        /** Sets the steps that must be done first. */
        public Builder after(List<Integer> steps) {
            this.after = List.copyOf(steps);
            return this;
        }

        /** Sets whether tasks save what they have done. */
        public Builder checkpointing(boolean enabled) {
            this.checkpointing = enabled;
            return this;
        }

        /** Sets whether the tasks work only together, and whether they had better share a rack. */
        public Builder gang(boolean enabled, boolean sameRack) {
            this.gang = enabled;
            this.rackLocal = sameRack;
            return this;
        }

        /** Sets the label that a worker must have and the rack on which the data lies. */
        public Builder place(String neededLabel, String dataRack) {
            this.label = neededLabel;
            this.affinityRack = dataRack;
            return this;
        }

        /** Sets how many tasks one worker shall carry. */
        public Builder perWorkerMost(int maxTasks) {
            this.perWorkerMost = maxTasks;
            return this;
        }

        /** Sets whether copies may run side by side. */
        public Builder speculative(boolean enabled) {
            this.speculative = enabled;
            return this;
        }

        /** Sets that the tasks run until the job is cancelled, and how many may be away at one time. */
        public Builder longRunning(boolean enabled, int maxUnavailable) {
            this.longRunning = enabled;
            this.mayMiss = maxUnavailable;
            return this;
        }

        /** Sets what the tasks run, the tail of answer times they are to keep, and whether they only fill. */
        public Builder image(String name, long tailMillis, boolean filling) {
            this.image = name;
            this.targetMillis = tailMillis;
            this.fills = filling;
            return this;
        }

        /** Returns the step. */
        public StepSpec build() {
            return new StepSpec(
                    count,
                    need,
                    estimateMillis,
                    after,
                    checkpointing,
                    gang,
                    rackLocal,
                    label,
                    affinityRack,
                    perWorkerMost,
                    speculative,
                    longRunning,
                    image,
                    targetMillis,
                    fills,
                    mayMiss);
        }
    }
}
