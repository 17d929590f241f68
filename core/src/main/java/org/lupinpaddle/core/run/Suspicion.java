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

/** What is thought of a task by how many workers have crashed under it: each may have stood there by chance. */
enum Suspicion {
    /** Nothing has crashed under it. */
    NONE(Colocation.ANY),
    /** One worker has: what crashed it is among all that ran there, so these are kept apart. */
    APART(Colocation.NO_OTHER_SUSPECT),
    /** Several have: it runs alone, so that nothing else is lost and a further crash speaks against nothing else. */
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

    /** Returns whether nothing else goes to the worker that has the task. */
    boolean closesWorker() {
        return this == ALONE;
    }
}
