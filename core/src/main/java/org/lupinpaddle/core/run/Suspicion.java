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
package org.lupinpaddle.core.run;

import org.lupinpaddle.core.placement.Colocation;

/** How strongly a task is suspected of crashing workers. Each crash may also be a coincidence. */
enum Suspicion {
    /** No worker has crashed while running it. */
    NONE(Colocation.ANY),
    /** One worker has crashed. Any task that ran there may be the cause, so these suspects are kept apart. */
    APART(Colocation.NO_OTHER_SUSPECT),
    /**
     * Several workers have crashed. The task runs alone, so that another crash harms no other task and incriminates
     * only this one.
     */
    ALONE(Colocation.EXCLUSIVE);

    private static final int CRASHES_UNTIL_ALONE = 2;

    private final Colocation company;

    Suspicion(Colocation company) {
        this.company = company;
    }

    static Suspicion of(int crashes) {
        if (crashes == 0) {
            return NONE;
        }
        return crashes < CRASHES_UNTIL_ALONE ? APART : ALONE;
    }

    Colocation company() {
        return company;
    }

    boolean isSuspect() {
        return this != NONE;
    }

    /** Returns whether no other task may run on the task's worker. */
    boolean requiresIsolation() {
        return this == ALONE;
    }
}
