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
 * The reason why a stored record can not be used.
 *
 * @param reason the kind of fault
 * @param field the path of the faulty member; empty for the record as a whole
 */
public record Unreadable(Reason reason, String field) {

    // Member names come from the writer of the record and appear in log lines, so their length is limited.
    private static final int MAX_FIELD_CHARS = 60;

    /** Kinds of faults in a record. */
    public enum Reason {
        /** The bytes are not valid text. */
        NOT_TEXT,
        /** The text is not JSON, contains more than one value or repeats a member name. */
        NOT_JSON,
        /** The JSON value does not have the shape of the record. */
        NOT_AN_OBJECT,
        /** A required member is absent or null. */
        MISSING,
        /** A member has the wrong type. */
        WRONG_TYPE,
        /** A number is outside its valid range. */
        OUT_OF_RANGE,
        /** A text or a list exceeds its maximum length. */
        TOO_LONG,
        /** A word is not a known constant. */
        UNKNOWN_WORD,
        /** A text does not have the required format. */
        MALFORMED,
        /** The record does not match the key under which it is stored. */
        NOT_OF_ITS_KEY,
        /** Another entry has the same value, although it must be unique. */
        NOT_UNIQUE,
        /** An unexpected error occurred while the record was processed. */
        NOT_PROCESSED;

        /** Returns this fault for a record as a whole. */
        public Unreadable whole() {
            return new Unreadable(this, "");
        }

        /** Returns this fault for one member. */
        public Unreadable in(String field) {
            return new Unreadable(this, field);
        }
    }

    /** Creates a value; a long member path is truncated. */
    public Unreadable {
        field = field.length() <= MAX_FIELD_CHARS ? field : field.substring(0, MAX_FIELD_CHARS);
    }

    /** Returns the reason and the field in the form shown in logs and to operators. */
    @Override
    public String toString() {
        String word = reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return field.isEmpty() ? word : word + ":" + field;
    }
}
