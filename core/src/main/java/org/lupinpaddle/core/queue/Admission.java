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
package org.lupinpaddle.core.queue;

import org.jspecify.annotations.Nullable;

/**
 * The result of checking a caller's request against a configuration.
 *
 * @param outcome the decision
 * @param queue the queue that serves the request; null if the request is not admitted
 * @param workspace the workspace that holds the key of the request; null for a public queue or if not admitted
 */
public record Admission(
        Outcome outcome,
        @Nullable QueueConfig queue,
        @Nullable String workspace) {

    /** The possible decisions. */
    public enum Outcome {
        /** The request may be handled. */
        ADMITTED,
        /** No queue matches the request. */
        NO_QUEUE,
        /** The queue requires a key, and the request has no valid one. */
        UNKNOWN_KEY
    }

    static final Admission NO_QUEUE = new Admission(Outcome.NO_QUEUE, null, null);
    static final Admission UNKNOWN_KEY = new Admission(Outcome.UNKNOWN_KEY, null, null);

    /** Returns whether the request may be handled. */
    public boolean isAdmitted() {
        return outcome == Outcome.ADMITTED;
    }

    /** Returns whether the request was admitted because of its key. */
    public boolean usesKey() {
        return workspace != null;
    }

    /** Returns whether the caller may access a job of {@code owner}. Jobs without a workspace are visible to every caller. */
    public boolean canAccess(@Nullable String owner) {
        return workspace == null || owner == null || workspace.equals(owner);
    }
}
