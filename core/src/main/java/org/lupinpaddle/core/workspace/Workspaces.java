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
package org.lupinpaddle.core.workspace;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Unreadable;

/**
 * The workspaces of a configuration.
 *
 * @param all the valid workspaces, with unique names and keys
 * @param rejected the invalid entries
 */
public record Workspaces(List<Workspace> all, List<Rejected> rejected) {

    public static final Workspaces NONE = new Workspaces(List.of(), List.of());

    /**
     * An invalid workspace entry of a configuration.
     *
     * @param name the name in the entry; empty if it cannot be read
     * @param why why the entry is invalid
     * @param fallback the workspace to use if no earlier version of it is known; null for none
     */
    public record Rejected(
            String name, Unreadable why, @Nullable Workspace fallback) {

        /** Creates a rejected entry without a fallback. */
        public Rejected(String name, Unreadable why) {
            this(name, why, null);
        }
    }

    /**
     * Creates the workspaces from the entries of a configuration. Entries that share a name or a key are all rejected, since
     * the owner of the name or key is ambiguous.
     */
    public static Workspaces of(List<Workspace> read, List<Rejected> unreadable) {
        List<Workspace> valid = new ArrayList<>();
        List<Rejected> rejected = new ArrayList<>(unreadable);
        for (Workspace w : read) {
            List<Workspace> others = read.stream().filter(o -> o != w).toList();
            if (others.stream().anyMatch(o -> o.name().equals(w.name()))) {
                rejected.add(new Rejected(w.name(), Unreadable.Reason.NOT_UNIQUE.in("name")));
            } else if (others.stream().anyMatch(o -> !Collections.disjoint(o.keys(), w.keys()))) {
                rejected.add(new Rejected(w.name(), Unreadable.Reason.NOT_UNIQUE.in("keys")));
            } else {
                valid.add(w);
            }
        }
        return new Workspaces(List.copyOf(valid), List.copyOf(rejected));
    }

    /**
     * Returns the workspaces with each rejected entry replaced by its {@code previous} version, or else by its fallback. Keys
     * that now belong to another workspace are removed from the replacement.
     */
    public Workspaces withFallback(Workspaces previous) {
        if (rejected.isEmpty()) {
            return this;
        }
        Map<String, Workspace> effective = new LinkedHashMap<>();
        Set<KeyDigest> assignedKeys = new HashSet<>();
        all.forEach(w -> addIfAbsent(w, effective, assignedKeys));
        for (Rejected r : rejected) {
            Workspace kept = previous.findByName(r.name()).orElse(r.fallback());
            if (kept != null) {
                addIfAbsent(kept, effective, assignedKeys);
            }
        }
        return new Workspaces(List.copyOf(effective.values()), rejected);
    }

    private static void addIfAbsent(Workspace w, Map<String, Workspace> effective, Set<KeyDigest> assignedKeys) {
        effective.putIfAbsent(w.name(), w.withoutKeys(assignedKeys));
        assignedKeys.addAll(w.keys());
    }

    /** Returns the workspace with this name. */
    public Optional<Workspace> findByName(String name) {
        return all.stream().filter(w -> w.name().equals(name)).findFirst();
    }

    /** Returns the workspace that holds a key. Compares all keys, so that the time taken does not depend on the match. */
    public Optional<Workspace> findByKey(@Nullable KeyDigest key) {
        Workspace holder = null;
        if (key != null) {
            for (Workspace w : all) {
                for (KeyDigest k : w.keys()) {
                    holder = k.equals(key) ? w : holder;
                }
            }
        }
        return Optional.ofNullable(holder);
    }
}
