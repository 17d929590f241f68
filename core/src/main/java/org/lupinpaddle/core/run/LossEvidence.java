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

/** The evidence that nothing is running on a worker any more. */
enum LossEvidence {
    /** Another incarnation answers at its address. */
    OTHER_LIFE("another life answers at its address", true),
    /** The worker answers under the same id and with a later birth. */
    RESTARTED("its worker has restarted under its id", true),
    /** The worker was silent, and the platform lists no such incarnation. */
    NOT_LIVING("silent, and the platform lists it on no instance that is up", true),
    /** The worker was silent, and its instance has another worker. */
    REPLACED("silent, and the platform lists another worker on its instance", true),
    /** The worker is unreachable; it may be alive, but nothing runs on it any more. */
    PAST_DEADLINES("silent, and past every deadline it was given", false);

    private final String text;
    private final boolean provesEnd;

    LossEvidence(String text, boolean provesEnd) {
        this.text = text;
        this.provesEnd = provesEnd;
    }

    /** Returns whether the worker itself has ended, and not only its runs. */
    boolean provesEnd() {
        return provesEnd;
    }

    @Override
    public String toString() {
        return text;
    }
}
