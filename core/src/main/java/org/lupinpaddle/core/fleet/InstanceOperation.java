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
package org.lupinpaddle.core.fleet;

import java.util.Optional;
import java.util.regex.Pattern;

/**
 * An operation for which an instance leaves its pool.
 *
 * @param kind the kind of operation
 * @param target the wave number of an upkeep, or the destination pool of a move
 */
public record InstanceOperation(Kind kind, String target) {

    private static final char SEPARATOR = ':';
    private static final Pattern WAVE = Pattern.compile("[0-9]{1,18}");

    /** The kinds of operation. */
    public enum Kind {
        /** The instance is maintained and returns to its pool. */
        UPKEEP,
        /** The instance moves to another pool. */
        MOVE
    }

    /** Returns the upkeep operation of a wave. */
    public static InstanceOperation upkeep(long wave) {
        return new InstanceOperation(Kind.UPKEEP, Long.toString(wave));
    }

    /** Returns an operation that moves an instance to a pool. */
    public static InstanceOperation move(String pool) {
        return new InstanceOperation(Kind.MOVE, pool);
    }

    /** Returns whether this operation is the upkeep for the given wave. */
    public boolean isUpkeepOf(long wave) {
        return kind == Kind.UPKEEP && target.equals(Long.toString(wave));
    }

    /** Parses the format written by {@link #toString}; returns empty if the text is malformed. */
    public static Optional<InstanceOperation> parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return Optional.empty();
        }
        for (Kind candidate : Kind.values()) {
            if (candidate.name().equals(text.substring(0, separator))) {
                return Optional.of(new InstanceOperation(candidate, text.substring(separator + 1)))
                        .filter(InstanceOperation::hasValidTarget);
            }
        }
        return Optional.empty();
    }

    /** Returns whether the target is valid for the kind: a wave number, or a non-blank pool name. */
    private boolean hasValidTarget() {
        return kind == Kind.UPKEEP ? WAVE.matcher(target).matches() : !target.isBlank();
    }

    @Override
    public String toString() {
        return kind.name() + SEPARATOR + target;
    }
}
