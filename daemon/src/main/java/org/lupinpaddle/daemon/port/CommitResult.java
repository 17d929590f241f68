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
package org.lupinpaddle.daemon.port;

import java.util.List;

/**
 * What became of a commit.
 *
 * @param outcome what is known
 * @param revision the store's revision of the change; 0 unless it was made
 * @param current the items of the conditions as they stand; empty unless a condition did not hold
 */
public record CommitResult(Outcome outcome, long revision, List<StoreItem> current) {

    /** What is known of a commit. */
    public enum Outcome {
        /** All changes are made and durable. */
        MADE,
        /** A condition did not hold; nothing was done. */
        CONFLICT,
        /** The lease has ended; nothing was done. */
        LEASE_ENDED,
        /** The store did not take the call; nothing was done. */
        REFUSED,
        /** The store will never take the call as it is, for its form or its size; nothing was done. */
        REJECTED,
        /** No answer: the changes may be made, or may still be made while their conditions hold. */
        UNKNOWN
    }

    /** Returns the revision that a key has; 0 when it is absent. */
    public long revisionOf(String key) {
        return current.stream()
                .filter(i -> i.key().equals(key))
                .mapToLong(StoreItem::revision)
                .findFirst()
                .orElse(0);
    }
}
