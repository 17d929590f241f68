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

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import java.io.IOException;

/** Reads the start time of a worker. An invalid value does not make the rest of the record unreadable. */
final class LenientStartTimeDeserializer extends StdDeserializer<Long> {

    /** Replaces a value that is not a valid start time. */
    static final long UNREADABLE = -1;

    private static final long serialVersionUID = 1;

    LenientStartTimeDeserializer() {
        super(Long.class);
    }

    @Override
    public Long deserialize(JsonParser p, DeserializationContext context) throws IOException {
        boolean valid = p.currentToken() == JsonToken.VALUE_NUMBER_INT
                && p.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                && p.getLongValue() > 0;
        if (valid) {
            return p.getLongValue();
        }
        p.skipChildren();
        return UNREADABLE;
    }
}
