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

/** A production mechanism that a test disables to show that the rules detect its absence. */
enum Sabotage {
    /** No mechanism is disabled. */
    NONE,
    /** Workers receive the same fencing token from every owner. */
    NO_FENCES,
    /** Workers receive the same fencing token from an owner as long as it owns the service. */
    FENCES_NOT_RAISED,
    /** The answer to a start states the clock of the former incarnation until the worker has answered a hold. */
    RESTART_HIDDEN_FROM_STARTS,
    /** Each hold acknowledges all ends of runs, so workers forget an end as soon as they have reported it. */
    ENDS_FORGOTTEN_EARLY,
    /** A new owner of the fleet cannot read which instances its predecessor has ordered recently. */
    RECENT_ORDERS_UNTOLD,
    /** Quota allocations are not written to the store, so owners do not see each other's grants. */
    QUOTAS_NOT_SHARED,
    /** A commit that stores a job does not require that its id is not in use at another service. */
    LOCATIONS_IGNORED,
    /** Workers refuse the tasks of finite jobs that count against a quota. */
    LIMITED_TASKS_REFUSED,
    /** Entries keep using the first configuration that they have read. */
    CONFIGURATION_NOT_UPDATED,
    /** Entries receive neither the operators' cordons nor changes of them. */
    CORDONS_HIDDEN,
    /**
     * A watch of the operators' records that meets a fault is answered as if nothing had changed, so that an old view
     * of the cordons seems current.
     */
    OLD_CORDONS_CONFIRMED,
    /** A partition delivers orders that have been given up. */
    ORDERS_NOT_WITHDRAWN,
    /** A partition delivers unanswered orders of processes that have ended. */
    ENDED_ORDERS_NOT_WITHDRAWN,
    /** Orders are written to the network even if they must not be sent any more. */
    SEND_PERMIT_IGNORED;

    /** Returns whether this switch only has an effect in histories with cordons. */
    boolean needsCordons() {
        return this == CORDONS_HIDDEN || this == OLD_CORDONS_CONFIRMED;
    }

    /** Returns whether this switch only has an effect in histories with orders that are held up. */
    boolean needsHeldOrders() {
        return this == ORDERS_NOT_WITHDRAWN || this == ENDED_ORDERS_NOT_WITHDRAWN || this == SEND_PERMIT_IGNORED;
    }

    /** Returns whether this switch only has an effect in histories in which workers are cut off after a restart. */
    boolean needsRestartCuts() {
        return this == RESTART_HIDDEN_FROM_STARTS;
    }

    /** Returns whether this switch only has an effect in histories in which queues get other services. */
    boolean needsReroutes() {
        return this == LOCATIONS_IGNORED;
    }

    /** Returns whether this switch only has an effect in histories with workspaces. */
    boolean needsWorkspaces() {
        return this == QUOTAS_NOT_SHARED || this == LIMITED_TASKS_REFUSED || this == CONFIGURATION_NOT_UPDATED;
    }
}
