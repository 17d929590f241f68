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
package org.lupinpaddle.core.common;

import java.util.Locale;

/**
 * Why a record of the store can not be used.
 *
 * @param reason what is wrong
 * @param field the member it is wrong with, as a path; empty for the record as a whole
 */
public record Unreadable(Reason reason, String field) {

    // Names of members come from whoever wrote the record, and this goes into log lines.
    private static final int MAX_FIELD_CHARS = 60;

    /** What can be wrong with a record. */
    public enum Reason {
        /** Its bytes are no text. */
        NOT_TEXT,
        /** Its text is no JSON, or more than one value, or names a member twice. */
        NOT_JSON,
        /** It is JSON, but of another shape than the record. */
        NOT_AN_OBJECT,
        /** A member that must be there is absent or null. */
        MISSING,
        /** A member is of another type. */
        WRONG_TYPE,
        /** A number is not among those that have a meaning. */
        OUT_OF_RANGE,
        /** A text or a list is longer than any that has a meaning. */
        TOO_LONG,
        /** A word is none of those that are known. */
        UNKNOWN_WORD,
        /** A text has not the form that it must have. */
        MALFORMED,
        /** The record names something else than the key under which it lies. */
        NOT_OF_ITS_KEY,
        /** Another entry has the same value, which must be unique. */
        NOT_UNIQUE;

        /** Returns the reason about a record as a whole. */
        public Unreadable whole() {
            return new Unreadable(this, "");
        }

        /** Returns the reason about one member. */
        public Unreadable in(String field) {
            return new Unreadable(this, field);
        }
    }

    /** Makes a reason; a long name of a member is cut. */
    public Unreadable {
        field = field.length() <= MAX_FIELD_CHARS ? field : field.substring(0, MAX_FIELD_CHARS);
    }

    /** Returns both, as log lines and operators show them. */
    @Override
    public String toString() {
        String word = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return field.isEmpty() ? word : word + ":" + field;
    }
}
