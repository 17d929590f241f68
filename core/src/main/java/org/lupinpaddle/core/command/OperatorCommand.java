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
package org.lupinpaddle.core.command;

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.wave.WaveOrder;
import org.lupinpaddle.core.wave.WaveScope;
import org.lupinpaddle.core.wave.WaveState;

/** The operator commands as typed values. */
public sealed interface OperatorCommand {

    /** A read-only query. */
    sealed interface Question extends OperatorCommand {}

    /** A change, whose outcome is accepted, refused or unknown. */
    sealed interface Change extends OperatorCommand {}

    /** Shows the configuration in force on this entry and its revision. */
    record Status() implements Question {}

    /** Lists the entries as seen by this one. */
    record Entries() implements Question {}

    /** Shows the metrics of this entry. */
    record Metrics() implements Question {}

    /** Shows the trace spans of a request. */
    record Trace(String requestId) implements Question {}

    /** Lists the services with their budgets, members and permits. */
    record ServiceList() implements Question {}

    /** Creates a service. */
    record ServiceCreate(String name, int budget, Reserve reserve) implements Change {}

    /** Changes a service's budget or reserve. */
    record ServiceChange(
            String name, @Nullable Integer budget, @Nullable Reserve reserve) implements Change {}

    /** Retires a service. */
    record ServiceRetire(String name) implements Change {}

    /** Lists the pools with their sizes. */
    record PoolList() implements Question {}

    /** Creates a pool; without a service it is a pool of spare instances. */
    record PoolCreate(String name, @Nullable String service, String site) implements Change {}

    /** Retires a pool that has no instances. */
    record PoolRetire(String name) implements Change {}

    /** Lists the instances of one pool or of all. */
    record InstanceList(@Nullable String pool) implements Question {}

    /** Explains the pool and state of an instance, and which wave holds it. */
    record InstanceExplain(String id) implements Question {}

    /** Adds an instance to the fleet. */
    record InstanceAdd(String id, String pool, String hall, String rack, String address, int slots, int memoryMb)
            implements Change {}

    /** Removes an instance of a spare pool from the fleet. */
    record InstanceRetire(String id) implements Change {}

    /**
     * The definition of a new wave.
     *
     * @param name the wave's name
     * @param scope the instances it covers
     * @param toPool for a migration, the destination pool
     * @param spares for a migration between sites, the pool of spare instances that join first
     * @param order the order in which instances are processed
     */
    record WaveDraft(
            String name,
            WaveScope scope,
            @Nullable String toPool,
            @Nullable String spares,
            WaveOrder order) {}

    /** Shows what a wave would do without starting it. */
    record WavePlan(WaveDraft draft) implements Question {}

    /** Starts a wave. */
    record WaveStart(WaveDraft draft) implements Change {}

    /** Pauses, resumes or cancels a wave. */
    record WaveSteer(String name, Steering steering) implements Change {}

    /** The control actions on a wave. */
    enum Steering {
        /** Drains no more instances and undrains those that are not yet rebooting. */
        PAUSE(WaveState.PAUSED, "paused"),
        /** Continues a paused or halted wave. */
        RESUME(WaveState.RUNNING, "resumed"),
        /** Ends the wave permanently. */
        CANCEL(WaveState.CANCELLED, "cancelled");

        private final WaveState state;
        private final String past;

        Steering(WaveState state, String past) {
            this.state = state;
            this.past = past;
        }

        /** Returns the resulting state of the wave. */
        public WaveState state() {
            return state;
        }

        /** Returns the past participle of the action, for messages. */
        public String past() {
            return past;
        }
    }

    /** Lists the waves. */
    record WaveList() implements Question {}

    /** Shows the progress of a wave. */
    record WaveShow(String name) implements Question {}

    /** Lists the stored jobs. */
    record JobList() implements Question {}

    /** Shows the progress of a job and why it waits. */
    record JobExplain(String id) implements Question {}

    /** Lists the entries and the duties that each owns. */
    record JobOwners() implements Question {}

    /** Lists the workers by service. */
    record JobWorkers() implements Question {}

    /** Lists the data halls, whether they are cordoned, and the tasks in them. */
    record JobHalls() implements Question {}

    /** Lists the platform's upkeep waves. */
    record JobUpkeep() implements Question {}

    /** Lists the entries of the platform's store that can not be read. */
    record JobUnreadable() implements Question {}
}
