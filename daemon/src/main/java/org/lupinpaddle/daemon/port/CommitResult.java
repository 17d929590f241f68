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
import java.util.Optional;

/**
 * The result of a {@link StoreCommit}.
 *
 * @param outcome what is known about the commit
 * @param revision the store revision created by the commit; 0 unless it was applied
 * @param current the current items of the conditions' keys; empty unless a condition did not hold
 */
public record CommitResult(Outcome outcome, long revision, List<StoreItem> current) {

    /** What is known about a commit. */
    public enum Outcome {
        /** All changes are applied and durable. */
        MADE,
        /** A condition did not hold; nothing was changed. */
        CONFLICT,
        /** The lease has expired; nothing was changed. */
        LEASE_ENDED,
        /** The store did not accept the call; nothing was changed. */
        REFUSED,
        /** The store will never accept this commit because of its form or size; nothing was changed. */
        REJECTED,
        /**
         * No answer was received: the changes may have been applied, or may still be applied while their conditions
         * hold.
         */
        UNKNOWN
    }

    /** Returns the current item of a condition's key; empty if the key is absent. */
    public Optional<StoreItem> itemOf(String key) {
        return current.stream().filter(i -> i.key().equals(key)).findFirst();
    }

    /** Returns the current revision of a key; 0 if the key is absent. */
    public long revisionOf(String key) {
        return itemOf(key).map(StoreItem::revision).orElse(0L);
    }
}
