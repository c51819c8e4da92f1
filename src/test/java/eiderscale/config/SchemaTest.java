package eiderscale.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** The schema in the repository says of each key what the reader says. */
class SchemaTest {
    private static final Path FILE = Path.of("docs/stairshelf.schema.json");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static JsonSchema schema() throws Exception {
        return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(Files.readString(FILE));
    }

    private static JsonNode json(String toml) throws Exception {
        TomlParseResult result = Toml.parse(toml);
        assertFalse(result.hasErrors(), toml);
        return MAPPER.readTree(result.toJson());
    }

    @Test
    void theFileInTheRepositoryIsTheOneThatTheCommandPrints() throws Exception {
        JsonNode made = MAPPER.readTree(MAPPER.writeValueAsString(Schema.tree()));
        assertTrue(made.equals(MAPPER.readTree(Files.readString(FILE))),
                "make it anew with: stairshelf config schema > docs/stairshelf.schema.json");
    }

    @Test
    void everyKeyOfTheReaderStandsInItAndNoOther() throws Exception {
        assertEquals(names(Spec.ROOT), properties(MAPPER.readTree(Files.readString(FILE))));
    }

    private static List<String> names(Section section) {
        List<String> names = new ArrayList<>();
        section.keys().forEach(key -> names.add(key.name()));
        for (Section inner : section.sections()) {
            names.add(inner.name());
            names(inner).forEach(name -> names.add(inner.name() + "." + name));
        }
        names.sort(null);
        return names;
    }

    private static List<String> properties(JsonNode table) {
        List<String> names = new ArrayList<>();
        table.get("properties").fields().forEachRemaining(entry -> {
            names.add(entry.getKey());
            JsonNode inner = entry.getValue().has("properties") ? entry.getValue()
                    : entry.getValue().path("items").has("properties") ? entry.getValue().get("items") : null;
            if (inner != null && !entry.getKey().equals("hosts")) {
                properties(inner).forEach(name -> names.add(entry.getKey() + "." + name));
            }
        });
        names.sort(null);
        return names;
    }

    @Test
    void goodFilesFitIt() throws Exception {
        JsonSchema schema = schema();
        for (Cases.Case one : Cases.read("good-files.txt", "127.0.0.1:21001", "127.0.0.1:21002")) {
            String text = one.text().replace("@D@", "127.0.0.1:21003");
            assertTrue(schema.validate(json(text)).isEmpty(), () -> one.name());
        }
    }

    /** What is wrong with one key alone, and not with its range as a measure, the schema sees as well. */
    @Test
    void whatTheReaderCannotReadDoesNotFitIt() throws Exception {
        JsonSchema schema = schema();
        int seen = 0;
        for (Cases.Case one : Cases.read("bad-files.txt", "127.0.0.1:21001", "127.0.0.1:21002")) {
            Report report = new Report();
            if (one.key().isEmpty() || one.text().contains("= nan") || one.text().contains("= inf")) {
                continue;
            }
            Reader.read(one.text().getBytes(), Spec.ROOT, report);
            boolean fits = schema.validate(json(one.text())).isEmpty();
            boolean measured = report.problems().stream().anyMatch(p -> p.message().contains("out of range")
                    && p.message().contains("\"") || p.message().contains("no address"));
            if (!measured) {
                assertEquals(report.problems().isEmpty(), fits, one.name() + ": " + report.problems());
                seen += fits ? 0 : 1;
            }
        }
        assertTrue(seen >= 25, "cases that the schema rejects: " + seen);
    }
}
