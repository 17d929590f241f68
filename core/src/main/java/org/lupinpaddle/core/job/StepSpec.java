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
 * One step of a job, as specified by its caller.
 *
 * @param count the number of tasks
 * @param need the resources that each task requires
 * @param estimateMillis the caller's estimate of a task's duration; 0 if none was given
 * @param after the indexes, from 0, of the steps whose tasks must all be done first
 * @param checkpointing whether tasks save checkpoints and can resume from them
 * @param gang whether the tasks must run at the same time
 * @param rackLocal whether tasks run faster if all are on one rack
 * @param label the label that a worker must have; empty if none is required
 * @param affinityRack the rack that holds the data; empty for none
 * @param perWorkerMost the maximum number of tasks of one repetition on one worker; 0 for no limit
 * @param speculative whether copies of a task may run concurrently
 * @param longRunning whether tasks run until the job is cancelled
 * @param image the image that the tasks run; tasks of the same image behave alike
 * @param targetMillis the objective for the tail latency of a serving task; 0 for none
 * @param fills whether tasks use only CPU time that other tasks leave idle
 * @param mayMiss the maximum number of tasks that the system may make unavailable at the same time; 0 if not specified
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

    /** Creates a step; repeated indexes in {@code after} are dropped, so that it has at most one for each step. */
    public StepSpec {
        after = after.stream().distinct().toList();
    }

    /**
     * The resources that one task requires.
     *
     * @param cpuMillis thousandths of a core
     * @param memoryMb megabytes
     * @param accelerators whole accelerators
     */
    public record Need(long cpuMillis, long memoryMb, long accelerators) {}

    /**
     * Returns a short summary of the step, as {@code COUNTxMILLICORES}, followed by {@code >STEP} for each step
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

    /** Builds a {@link StepSpec}; properties that are not set are absent. */
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

        /** Sets the estimate of a task's duration. */
        public Builder estimateMillis(long millis) {
            this.estimateMillis = millis;
            return this;
        }

        /** Sets the steps that must be done first. */
        public Builder after(List<Integer> steps) {
            this.after = List.copyOf(steps);
            return this;
        }

        /** Sets whether tasks save checkpoints. */
        public Builder checkpointing(boolean enabled) {
            this.checkpointing = enabled;
            return this;
        }

        /** Sets whether the tasks must run at the same time, and whether they run faster on one rack. */
        public Builder gang(boolean enabled, boolean sameRack) {
            this.gang = enabled;
            this.rackLocal = sameRack;
            return this;
        }

        /** Sets the label that a worker must have and the rack that holds the data. */
        public Builder place(String neededLabel, String dataRack) {
            this.label = neededLabel;
            this.affinityRack = dataRack;
            return this;
        }

        /** Sets the maximum number of tasks on one worker. */
        public Builder perWorkerMost(int maxTasks) {
            this.perWorkerMost = maxTasks;
            return this;
        }

        /** Sets whether copies of a task may run concurrently. */
        public Builder speculative(boolean enabled) {
            this.speculative = enabled;
            return this;
        }

        /** Sets whether the tasks run until the job is cancelled, and how many may be unavailable at the same time. */
        public Builder longRunning(boolean enabled, int maxUnavailable) {
            this.longRunning = enabled;
            this.mayMiss = maxUnavailable;
            return this;
        }

        /** Sets the image, the tail latency objective, and whether the tasks use only idle CPU time. */
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
