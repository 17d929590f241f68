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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The value of a location key whose id was cancelled while no job had it. It takes the place of the location, so that
 * no submission that is under way can store a job with this id.
 *
 * @param callers the workspaces that cancelled the id, sorted; an empty name stands for callers without a workspace
 */
public record CancelledId(List<String> callers) {

    // No service has a name that begins with a slash.
    private static final String PREFIX = "/cancelled";
    private static final String SEPARATOR = "/";
    private static final String PUBLIC = "";

    /** Returns the mark of an id that one caller has cancelled. */
    public static CancelledId by(@Nullable String workspace) {
        return new CancelledId(List.of(name(workspace)));
    }

    /** Returns the mark with one more caller. */
    public CancelledId andBy(@Nullable String workspace) {
        Set<String> all = new TreeSet<>(callers);
        all.add(name(workspace));
        return new CancelledId(new ArrayList<>(all));
    }

    /** Returns the mark that the value of a location key stands for; empty if the value names a service. */
    public static Optional<CancelledId> parse(String value) {
        if (!value.startsWith(PREFIX)) {
            return Optional.empty();
        }
        // A mark that cannot be read applies to all callers, since it may be of any of them.
        return Optional.of(decode(value.substring(PREFIX.length())).orElseGet(() -> by(null)));
    }

    private static Optional<CancelledId> decode(String names) {
        try {
            List<String> callers = Stream.of(names.split(SEPARATOR, -1))
                    .skip(1) // the part before the first separator
                    .map(s -> new String(Base64.getUrlDecoder().decode(s), StandardCharsets.UTF_8))
                    .toList();
            return callers.isEmpty() ? Optional.empty() : Optional.of(new CancelledId(callers));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the value of the location key. */
    public String text() {
        return callers.stream().map(CancelledId::encode).collect(Collectors.joining(SEPARATOR, PREFIX + SEPARATOR, ""));
    }

    /** Returns whether a submission of this workspace is refused. A workspace does not affect the ids of another. */
    public boolean appliesTo(@Nullable String workspace) {
        return workspace == null || callers.contains(workspace) || callers.contains(PUBLIC);
    }

    private static String encode(String name) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(name.getBytes(StandardCharsets.UTF_8));
    }

    private static String name(@Nullable String workspace) {
        return workspace == null ? PUBLIC : workspace;
    }
}
